package operator

import (
	"net/url"
	"testing"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/router/document"
	"bramleyquay.example/router/settings"
)

// Guards against submitted forms that make the console panic, or that result in an
// accepted document which cannot be parsed again.
func FuzzForms(f *testing.F) {
	f.Add("services[0].name=a&services[0].dataCentres=m1&services[0].was=s", uint8(0))
	f.Add("dataCentres[0].name=&dataCentres[0].was=m1&dataCentres[1].name=m2", uint8(1))
	f.Add("services[0].rules[0].name=x&services[0].rules[0].shards=99999999999999999999", uint8(2))
	f.Add("automation.allOff=on", uint8(3))
	f.Fuzz(func(t *testing.T, form string, which uint8) {
		values, err := url.ParseQuery(form)
		if err != nil {
			return
		}
		d := &config.Document{
			DataCentres: []config.DataCentre{{Name: "m1"}},
			Services:    []config.Service{{Name: "s", Keyed: true, DataCentres: []string{"m1"}}},
		}
		text, groups, findings := applyForm(documentForms[int(which)%len(documentForms)], d, values)
		attachFindings(groups, findings)
		if _, again := document.Parse("", text); !settings.HasErrors(findings) && settings.HasErrors(again) {
			t.Fatalf("accepted, but parsed again with findings %v:\n%s", again, text)
		}
	})
}

package document

import (
	"bytes"
	"encoding/json"

	"bramleyquay.example/coord/config"
)

// Canonical returns a document as indented JSON with fields in a fixed order.
// Lists keep their order, which operators choose. Parsing the result gives the
// same document.
func Canonical(d *config.Document) []byte {
	full := *d
	full.DataCentres = orEmpty(full.DataCentres)
	full.Services = append([]config.Service{}, full.Services...)
	for i := range full.Services {
		s := &full.Services[i]
		s.DataCentres = orEmpty(s.DataCentres)
		s.Rules = append([]config.KeyRule(nil), s.Rules...)
		for j := range s.Rules {
			s.Rules[j].DataCentres = orEmpty(s.Rules[j].DataCentres)
		}
	}
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(full); err != nil {
		// Documents contain only strings, numbers, booleans and lists of these.
		panic("document: cannot encode a document: " + err.Error())
	}
	return out.Bytes()
}

// orEmpty returns list, or an empty list instead of nil. A nil list would be
// encoded as null, which Parse refuses.
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

package document

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"slices"
	"testing"

	"github.com/invopop/jsonschema"
	"github.com/matryer/is"

	"bramleyquay.example/coord/config"
)

var update = flag.Bool("update", false, "write the schema")

// generateSchema derives the JSON schema from the Go types and their comments.
// The working directory must be the folder of the coord module, because comments
// are read from relative paths.
func generateSchema(t *testing.T) []byte {
	t.Helper()
	is := is.New(t)
	reflector := jsonschema.Reflector{Anonymous: true, ExpandedStruct: true}
	is.NoErr(reflector.AddGoComments("bramleyquay.example/coord", "./config"))
	s := reflector.Reflect(&config.Document{})
	s.Title = "bramleyquay operator document"
	// A rule without data centres takes those of its service.
	rule := s.Definitions["KeyRule"]
	rule.Required = slices.DeleteFunc(rule.Required, func(name string) bool { return name == "dataCentres" })
	text, err := json.MarshalIndent(s, "", "  ")
	is.NoErr(err)
	return append(text, '\n')
}

// Guards against a committed schema that differs from the Go types. Run with
// -update after a change of the types.
func TestSchemaMatchesTypes(t *testing.T) {
	is := is.New(t)
	t.Chdir("../../coord")
	const file = "../docs/schema/document.schema.json"
	want := generateSchema(t)
	if *update {
		is.NoErr(os.WriteFile(file, want, 0o644))
	}
	got, err := os.ReadFile(file)
	is.NoErr(err)
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs from the types:\n%s", file, Diff(got, want))
	}
	is.True(bytes.Contains(got, []byte("the longest matching prefix decides")))
}

package document

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// Guards against published examples with findings: operators copy the examples,
// and their documents would be refused.
func TestExamplesHaveNoFindings(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../docs/examples/*.document.json")
	is.NoErr(err)
	is.Equal(len(files), 2)
	for _, file := range files {
		text, err := os.ReadFile(file)
		is.NoErr(err)
		_, findings := Parse(file, text)
		is.Equal(lines(findings), "")
	}
}

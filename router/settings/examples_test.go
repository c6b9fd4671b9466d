package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// Guards against published examples with findings: operators copy the examples,
// and their processes would not start.
func TestExamplesHaveNoFindings(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../docs/examples/*.settings.json")
	is.NoErr(err)
	is.Equal(len(files), 2)
	folder := t.TempDir()
	is.NoErr(os.Mkdir(filepath.Join(folder, "data"), 0o700))
	is.NoErr(os.WriteFile(filepath.Join(folder, "secret"), []byte("0123456789abcdef\n"), 0o600))
	for _, file := range files {
		text, err := os.ReadFile(file)
		is.NoErr(err)
		copied := filepath.Join(folder, filepath.Base(file))
		is.NoErr(os.WriteFile(copied, text, 0o600))
		findings, err := Check(copied)
		is.NoErr(err)
		is.Equal(len(findings), 0)
	}
}

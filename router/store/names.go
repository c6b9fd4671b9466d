package store

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	logPrefix      = "log-"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"
)

func logName(generation uint64) string { return fmt.Sprintf("%s%016x", logPrefix, generation) }
func snapshotName(generation uint64) string {
	return fmt.Sprintf("%s%016x", snapshotPrefix, generation)
}

// generationOf returns the generation in a file name with the given prefix. It
// reports false for any other name.
func generationOf(name, prefix string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok || len(digits) != 16 {
		return 0, false
	}
	g, err := strconv.ParseUint(digits, 16, 64)
	return g, err == nil && g > 0
}

// folder lists the generations and the temporary files in a folder.
type folder struct {
	logs, snapshots []uint64 // generations
	tempFiles       []string
}

func readFolder(fsys FS) (folder, error) {
	names, err := fsys.List()
	if err != nil {
		return folder{}, err
	}
	var f folder
	for _, name := range names {
		if g, ok := generationOf(name, logPrefix); ok {
			f.logs = append(f.logs, g)
		} else if g, ok := generationOf(name, snapshotPrefix); ok {
			f.snapshots = append(f.snapshots, g)
		} else if strings.HasSuffix(name, tempSuffix) {
			f.tempFiles = append(f.tempFiles, name)
		}
	}
	return f, nil
}

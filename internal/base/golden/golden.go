// Package golden compares what a test got with a file below testdata.
package golden

import (
	"os"
	"path/filepath"
	"testing"
)

// updateEnv is the variable that makes tests write the files anew.
const updateEnv = "UPDATE_GOLDEN"

// Equal fails the test where got differs from testdata/name.
func Equal(t *testing.T, name string, got []byte) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if os.Getenv(updateEnv) != "" {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatalf("%v (write it by %s=1 go test)", err, updateEnv)
	}
	if string(want) != string(got) {
		t.Errorf("%s differs.\ngot:\n%s\nwant:\n%s", file, got, want)
	}
}

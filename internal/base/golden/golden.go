// Package golden compares the output of tests with golden files in testdata.
package golden

import (
	"os"
	"path/filepath"
	"testing"
)

// updateEnv is the environment variable that makes tests rewrite their golden files.
const updateEnv = "UPDATE_GOLDEN"

// Equal fails the test if got differs from the golden file testdata/name.
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
		t.Fatalf("%v (run %s=1 go test to create it)", err, updateEnv)
	}
	if string(want) != string(got) {
		t.Errorf("%s differs.\ngot:\n%s\nwant:\n%s", file, got, want)
	}
}

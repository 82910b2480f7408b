package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// Scripts decide by the exit code whether a configuration is stored.
func TestConfigCheckExitCodes(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{"one": `{"version":1}`, "two": `{"version":2,"limits":{"max_body_bytes":9}}`, "bad": `{"version":`} {
		is.New(t).NoErr(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	for _, tt := range []struct {
		file, against string
		want          int
	}{
		{"one", "", exitOK},
		{"two", "one", exitOK},
		{"one", "two", exitFailed},
		{"bad", "", exitFailed},
		{"none", "", exitUsage},
		{"one", "none", exitUsage},
		{"one", "bad", exitUsage},
	} {
		args := []string{"config", "check", filepath.Join(dir, tt.file)}
		if tt.against != "" {
			args = append(args, "--against", filepath.Join(dir, tt.against))
		}
		var out bytes.Buffer
		if got := Main(args, &out, &out); got != tt.want {
			t.Errorf("%s against %q: exit code %d, want %d: %s", tt.file, tt.against, got, tt.want, out.String())
		}
	}
}

package configcheck

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/dogwoodmill/dogwoodmill/platform"
)

// Report holds the findings of a file.
type Report struct {
	file     *platform.ConfigFile // nil if it can't be decoded
	findings []Finding
}

// Findings returns the findings in the order of the file, then the differences.
func (r *Report) Findings() []Finding { return r.findings }

// Clean reports whether there are no findings other than differences.
func (r *Report) Clean() bool {
	return !slices.ContainsFunc(r.findings, func(f Finding) bool { return f.Kind != Changed })
}

// Compare adds the differences from the configuration in force. It reports false if that one
// can't be decoded.
func (r *Report) Compare(inForce []byte) bool {
	old, _ := platform.ReadConfigFile(inForce)
	if old == nil {
		return false
	}
	if r.file == nil {
		return true
	}
	c := &checker{file: r.file}
	if v := r.file.Version; v.Value <= old.Version.Value {
		c.add(Invalid, v.Path, "%d must be above %d, the version in force", v.Value, old.Version.Value)
	}
	before, after := byName(old.Objects), byName(r.file.Objects)
	for _, o := range r.file.Objects {
		if prev, ok := before[objectKey(&o)]; ok {
			c.members(&prev, &o)
		} else {
			c.add(Changed, o.Path, "%q added", o.Name)
		}
	}
	for _, o := range old.Objects {
		if _, ok := after[objectKey(&o)]; !ok {
			c.add(Changed, o.Section, "%q removed", o.Name)
		}
	}
	r.findings = append(r.findings, c.findings...)
	return true
}

func objectKey(o *platform.ConfigObject) [2]string { return [2]string{o.Section, o.Name} }

func byName(list []platform.ConfigObject) map[[2]string]platform.ConfigObject {
	out := map[[2]string]platform.ConfigObject{}
	for _, o := range list {
		out[objectKey(&o)] = o
	}
	return out
}

// members adds the fields that differ. Values that may be keys are left out.
func (c *checker) members(before, after *platform.ConfigObject) {
	all := maps.Clone(before.Members)
	maps.Copy(all, after.Members)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		a, b := before.Members[name], after.Members[name]
		if a.JSON == b.JSON {
			continue
		}
		text := fmt.Sprintf("%s, was %s", orUnset(b.JSON), orUnset(a.JSON))
		if a.Secret || b.Secret {
			text = "differs"
		}
		if after.Name != "" {
			text = fmt.Sprintf("%q: %s", after.Name, text)
		}
		c.add(Changed, after.Path+"."+name, "%s", text)
	}
}

func orUnset(s string) string {
	if s == "" {
		return "unset"
	}
	return s
}

// Text writes a line for each finding, or that there are none.
func (r *Report) Text(w io.Writer) error {
	for _, f := range r.findings {
		at := ""
		if f.Line > 0 {
			at = fmt.Sprintf("%d:%d ", f.Line, f.Column)
		}
		path := f.Path
		if path == "" {
			path = "(file)"
		}
		if _, err := fmt.Fprintf(w, "%s%s: %s: %s\n", at, f.Kind, path, f.Text); err != nil {
			return err
		}
	}
	if len(r.findings) > 0 {
		return nil
	}
	_, err := fmt.Fprintln(w, "no findings")
	return err
}

// JSON writes the findings as JSON.
func (r *Report) JSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(struct {
		Clean    bool      `json:"clean"`
		Findings []Finding `json:"findings"`
	}{r.Clean(), append([]Finding{}, r.findings...)})
}

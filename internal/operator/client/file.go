package client

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/goccy/go-yaml"

	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
)

// Decode reads the objects of a YAML or JSON file, which may hold several
// documents. The error names every document that breaks a rule.
func Decode(file []byte) ([]resource.Object, error) { return decode("", file) }

func decode(name string, file []byte) ([]resource.Object, error) {
	var out []resource.Object
	var failed []error
	d := yaml.NewDecoder(bytes.NewReader(file))
	for i := 1; ; i++ {
		var doc any
		err := d.Decode(&doc)
		if errors.Is(err, io.EOF) {
			return out, errors.Join(failed...)
		}
		if err != nil {
			return nil, errors.Join(append(failed, fail(place(name, i, resource.Object{}), KindFile, err))...)
		}
		if doc == nil {
			continue
		}
		o, err := decodeObject(doc)
		if err != nil {
			failed = append(failed, fail(place(name, i, o), KindFile, err))
			continue
		}
		out = append(out, o)
	}
}

// place names a document for people.
func place(file string, i int, o resource.Object) string {
	s := fmt.Sprintf("document %d", i)
	if file != "" {
		s = file + ": " + s
	}
	if o.Metadata.Name != "" {
		s += fmt.Sprintf(" (%s/%s)", o.Kind, o.Metadata.Name)
	}
	return s
}

func decodeObject(doc any) (resource.Object, error) {
	var o resource.Object
	raw, err := json.Marshal(doc)
	if err != nil {
		return o, err
	}
	if err := resource.DecodeStrict(raw, &o, ""); err != nil {
		return o, err
	}
	kind, err := resource.ParseType(string(o.Kind))
	if err != nil {
		return o, err
	}
	o.Kind = kind
	return o, o.Check()
}

// Load reads the objects of files and directories; "-" is the given reader. Of a
// directory it takes the files that end in .yaml, .yml and .json, by name. The
// objects come in an order in which each follows those it refers to.
func Load(names []string, stdin io.Reader) ([]resource.Object, error) {
	var out []resource.Object
	var failed []error
	for _, name := range names {
		objects, err := loadOne(name, stdin)
		out = append(out, objects...)
		failed = append(failed, err)
	}
	if err := errors.Join(failed...); err != nil {
		return nil, err
	}
	order := map[resource.Type]int{}
	for i, t := range resource.Types() {
		order[t] = i
	}
	slices.SortStableFunc(out, func(a, b resource.Object) int { return cmp.Compare(order[a.Kind], order[b.Kind]) })
	return out, nil
}

func loadOne(name string, stdin io.Reader) ([]resource.Object, error) {
	if name == "-" {
		b, err := io.ReadAll(stdin)
		if err != nil {
			return nil, fail("read standard input", KindFile, err)
		}
		return decode("standard input", b)
	}
	info, err := os.Stat(name)
	if err != nil {
		return nil, fail("read", KindFile, err)
	}
	if !info.IsDir() {
		return loadFile(name)
	}
	entries, err := os.ReadDir(name)
	if err != nil {
		return nil, fail("read", KindFile, err)
	}
	var out []resource.Object
	var failed []error
	for _, e := range entries {
		if e.IsDir() || !slices.Contains([]string{".yaml", ".yml", ".json"}, filepath.Ext(e.Name())) {
			continue
		}
		objects, err := loadFile(filepath.Join(name, e.Name()))
		out = append(out, objects...)
		failed = append(failed, err)
	}
	return out, errors.Join(failed...)
}

func loadFile(name string) ([]resource.Object, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, fail("read", KindFile, err)
	}
	return decode(name, b)
}

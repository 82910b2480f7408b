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

// Decode decodes the objects of a YAML or JSON file, which may have several documents.
// It returns the valid objects and a joined error that names every invalid document.
// At a syntax error it stops and returns no objects.
func Decode(file []byte) ([]resource.Object, error) { return decode("", file) }

func decode(name string, file []byte) ([]resource.Object, error) {
	var out []resource.Object
	var errs []error
	d := yaml.NewDecoder(bytes.NewReader(file))
	for i := 1; ; i++ {
		var doc any
		err := d.Decode(&doc)
		if errors.Is(err, io.EOF) {
			return out, errors.Join(errs...)
		}
		if err != nil {
			return nil, errors.Join(append(errs, fail(describeDocument(name, i, resource.Object{}), KindFile, err))...)
		}
		if doc == nil {
			continue
		}
		o, err := decodeObject(doc)
		if err != nil {
			errs = append(errs, fail(describeDocument(name, i, o), KindFile, err))
			continue
		}
		out = append(out, o)
	}
}

// describeDocument returns a description of a document for error messages.
func describeDocument(file string, i int, o resource.Object) string {
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

// Load decodes the objects of files and directories; the name "-" stands for stdin. It
// reads the .yaml, .yml and .json files of a directory, sorted by name, but not its
// subdirectories. The objects are in dependency order: each follows those it refers to.
func Load(names []string, stdin io.Reader) ([]resource.Object, error) {
	var out []resource.Object
	var errs []error
	for _, name := range names {
		objects, err := loadPath(name, stdin)
		out = append(out, objects...)
		errs = append(errs, err)
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	order := map[resource.Type]int{}
	for i, t := range resource.Types() {
		order[t] = i
	}
	slices.SortStableFunc(out, func(a, b resource.Object) int { return cmp.Compare(order[a.Kind], order[b.Kind]) })
	return out, nil
}

func loadPath(name string, stdin io.Reader) ([]resource.Object, error) {
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
	var errs []error
	for _, e := range entries {
		if e.IsDir() || !slices.Contains([]string{".yaml", ".yml", ".json"}, filepath.Ext(e.Name())) {
			continue
		}
		objects, err := loadFile(filepath.Join(name, e.Name()))
		out = append(out, objects...)
		errs = append(errs, err)
	}
	return out, errors.Join(errs...)
}

func loadFile(name string) ([]resource.Object, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, fail("read", KindFile, err)
	}
	return decode(name, b)
}

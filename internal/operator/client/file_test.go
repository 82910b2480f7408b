package client_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/operator/client"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
)

func TestDecodeReportsEveryInvalidDocument(t *testing.T) {
	is := is.New(t)
	_, err := client.Decode([]byte("kind: rules\nmetadata: {name: a}\nspec: {priority: 99}\n---\nkind: nothing\nmetadata: {name: b}\n"))
	is.True(err != nil)
	is.Equal(err.Error(), `client: document 1 (rules/a): bad file: resource: check: invalid: spec.priority: 99 is not allowed; allowed: -10 to 10
client: document 2 (nothing/b): bad file: resource: parse kind: invalid: kind: "nothing" is not allowed; allowed: deployments, versions, services, workspaces, rules, upstreams`)
	var v *resource.Violation
	is.True(errors.As(err, &v))
}

// FuzzFile decodes arbitrary files. Accepted objects must be valid.
func FuzzFile(f *testing.F) {
	f.Add([]byte("kind: rules\nmetadata: {name: a}\nspec: {priority: 1}\n---\n{}\n"))
	f.Add([]byte(`{"kind":"service","metadata":{"name":"s"},"spec":{"timeout":"5s"}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		objects, err := client.Decode(b)
		if err != nil {
			return
		}
		for _, o := range objects {
			if err := o.Check(); err != nil {
				t.Fatalf("accepted an invalid object: %v", err)
			}
		}
	})
}

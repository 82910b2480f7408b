// Package resource holds the operator's objects: their kinds and specs, the rules
// that a spec must keep, the changes that the log carries, the fold of changes
// into a view, and the view from which everything else reads configuration.
package resource

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Type is the plural name of a kind of object, as in the path of the API.
type Type string

// The kinds of object.
const (
	TypeWorkspace  Type = "workspaces"
	TypeDeployment Type = "deployments"
	TypeVersion    Type = "versions"
	TypeRule       Type = "rules"
	TypeService    Type = "services"
	TypeUpstream   Type = "upstreams"
)

// Types lists the kinds in an order in which each comes after those it refers to.
func Types() []Type {
	return []Type{TypeDeployment, TypeVersion, TypeService, TypeWorkspace, TypeRule, TypeUpstream}
}

// ParseType returns the kind of the name, which may be singular.
func ParseType(name string) (Type, error) {
	plural := strings.TrimSuffix(strings.ToLower(name), "s") + "s"
	if t := Type(plural); slices.Contains(Types(), t) {
		return t, nil
	}
	names := make([]string, 0, len(Types()))
	for _, t := range Types() {
		names = append(names, string(t))
	}
	return "", fail("parse kind", KindInvalid, &Violation{
		Field: "kind", Value: fmt.Sprintf("%q", name), Allowed: strings.Join(names, ", "),
	})
}

// Metadata identifies an object and its version.
type Metadata struct {
	Name     string `json:"name"`
	Version  uint64 `json:"version,omitempty"`  // offset of the change that set it; 0 for a new object
	ChangeID string `json:"changeId,omitempty"` // id of that change
}

// Object is an object as the API shows it.
type Object struct {
	Kind     Type            `json:"kind"`
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   *Status         `json:"status,omitempty"`
}

// Status tells how far an object has taken effect.
type Status struct {
	Conditions []Condition `json:"conditions"`
	InForce    InForce     `json:"inForce"`
}

// Condition is one fact about an object.
type Condition struct {
	Type    string `json:"type"`
	Status  string `json:"status"` // "true", "false" or "unknown"
	Message string `json:"message,omitempty"`
}

// InForce counts the live entries that have folded the object's version.
type InForce struct {
	Seen int `json:"seen"`
	Of   int `json:"of"`
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

const nameAllowed = "1 to 63 of a-z, 0-9, '-' and '.', first and last a letter or digit"

// Check reports the first field of the object that breaks a rule, as an error of
// KindInvalid whose cause is a Violation.
func (o *Object) Check() error {
	if !namePattern.MatchString(o.Metadata.Name) {
		return Invalid("metadata.name", o.Metadata.Name, nameAllowed)
	}
	_, err := DecodeSpec(o.Kind, o.Spec)
	return err
}

// Spec is the spec of an object.
type Spec interface {
	check() error
}

// DecodeSpec decodes and checks the spec of an object of the kind.
func DecodeSpec(t Type, raw json.RawMessage) (Spec, error) {
	switch t {
	case TypeWorkspace:
		return decodeSpec[WorkspaceSpec](raw)
	case TypeDeployment:
		return decodeSpec[DeploymentSpec](raw)
	case TypeVersion:
		return decodeSpec[VersionSpec](raw)
	case TypeRule:
		return decodeSpec[RuleSpec](raw)
	case TypeService:
		return decodeSpec[ServiceSpec](raw)
	case TypeUpstream:
		return decodeSpec[UpstreamSpec](raw)
	default:
		_, err := ParseType(string(t))
		return nil, err
	}
}

func decodeSpec[T any, P interface {
	*T
	Spec
}](raw json.RawMessage) (Spec, error) {
	var spec T
	if len(bytes.TrimSpace(raw)) == 0 {
		return nil, Invalid("spec", "(nothing)", "an object")
	}
	if err := DecodeStrict(raw, &spec, "spec"); err != nil {
		return nil, err
	}
	if err := P(&spec).check(); err != nil {
		return nil, err
	}
	return P(&spec), nil
}

// DecodeStrict decodes JSON and refuses unknown fields. Errors name the field
// below the path.
func DecodeStrict(raw []byte, v any, path string) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		if _, end := d.Token(); !errors.Is(end, io.EOF) {
			return Invalid(path, "more than one value", "one JSON object")
		}
		return nil
	}
	var typeErr *json.UnmarshalTypeError
	switch {
	case asError(err, &typeErr):
		return Invalid(join(path, typeErr.Field), typeErr.Value, "a "+typeErr.Type.String())
	case strings.HasPrefix(err.Error(), "json: unknown field "):
		field := strings.Trim(strings.TrimPrefix(err.Error(), "json: unknown field "), `"`)
		return Invalid(join(path, field), "an unknown field", "the fields of this kind")
	default:
		return Invalid(path, err.Error(), "JSON of this kind")
	}
}

func join(path, field string) string {
	switch {
	case field == "":
		return path
	case path == "":
		return field
	default:
		return path + "." + field
	}
}

// Invalid returns an error of KindInvalid about a field.
func Invalid(field string, value any, allowed string) error {
	return fail("check", KindInvalid, &Violation{Field: field, Value: fmt.Sprintf("%v", value), Allowed: allowed})
}

// Seconds is a duration that JSON holds as a number of seconds. Text such as
// "1m30s" is read too.
type Seconds time.Duration

// Duration returns s as a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(s) }

// MarshalJSON writes the number of seconds.
func (s Seconds) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(s).Seconds()) }

// UnmarshalJSON reads a number of seconds or a Go duration.
func (s *Seconds) UnmarshalJSON(b []byte) error {
	var n float64
	if err := json.Unmarshal(b, &n); err == nil {
		*s = Seconds(n * float64(time.Second))
		return nil
	}
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return err
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*s = Seconds(d)
	return nil
}

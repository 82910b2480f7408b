package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"

	"github.com/goccy/go-yaml"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/api"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/client"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
)

// withExitCode wraps a client error with its exit code.
func withExitCode(err error) error {
	switch {
	case fault.Is(err, client.KindConflict):
		return &codedError{code: exitConflict, err: err}
	case fault.Is(err, client.KindUnknown):
		return &codedError{code: exitUnknown, err: withSettleHint(err)}
	case fault.Is(err, client.KindUnreachable):
		return &codedError{code: exitNoEntry, err: err}
	case fault.Is(err, client.KindFile), fault.Is(err, resource.KindInvalid):
		return &codedError{code: exitUsage, err: err}
	default:
		return err
	}
}

// withSettleHint adds the settle command for a change with an unknown outcome.
func withSettleHint(err error) error {
	var p *client.PendingChange
	if !errors.As(err, &p) {
		return err
	}
	return fmt.Errorf("%w\ndecide it by: dogwoodmill settle %s --base=%d", err, p.ID(), p.Base())
}

func (o *ClientOptions) client() *client.Client {
	return client.New(netio.TCP(), o.Server, o.OperatorToken)
}

// Run applies files. All documents are validated before the first is sent.
func (o *ApplyOptions) Run(env *environment) error {
	objects, err := client.Load(o.File, os.Stdin)
	if err != nil {
		return &codedError{code: exitUsage, err: err}
	}
	current := map[resource.Type]map[string]resource.Object{}
	for _, obj := range objects {
		if current[obj.Kind] != nil {
			continue
		}
		if current[obj.Kind], err = o.currentByName(obj.Kind); err != nil {
			return withExitCode(err)
		}
	}
	for _, obj := range objects {
		cur, exists := current[obj.Kind][obj.Metadata.Name]
		if err := o.applyOne(env, obj, cur, exists); err != nil {
			return withExitCode(err)
		}
	}
	return nil
}

// currentByName returns the current objects of a kind by name.
func (o *ApplyOptions) currentByName(kind resource.Type) (map[string]resource.Object, error) {
	list, err := o.client().List(context.Background(), kind)
	if err != nil {
		return nil, err
	}
	out := map[string]resource.Object{}
	for _, obj := range list.Items {
		out[obj.Metadata.Name] = obj
	}
	return out, nil
}

// applyOne creates or changes an object. A change is conditional on the version that the
// file names, or else on the version of cur.
func (o *ApplyOptions) applyOne(env *environment, obj, cur resource.Object, exists bool) error {
	result, lines := "created", []string(nil)
	if exists {
		result, lines = "changed", diffSpecs(cur.Spec, obj.Spec)
		if obj.Metadata.Version == 0 {
			obj.Metadata.Version = cur.Metadata.Version
		}
		if len(lines) == 0 && obj.Metadata.Version == cur.Metadata.Version {
			return o.report(env, cur, "unchanged", nil)
		}
	}
	if o.DryRun {
		return o.report(env, obj, "would be "+result, lines)
	}
	done, err := o.client().Put(context.Background(), obj)
	if err != nil {
		return err
	}
	return o.report(env, done, result, lines)
}

func (o *ApplyOptions) report(env *environment, obj resource.Object, result string, lines []string) error {
	if o.Output != "table" {
		return printValue(env.stdout, o.Output, obj)
	}
	if _, err := fmt.Fprintf(env.stdout, "%s/%s %s (version %d)\n", obj.Kind, obj.Metadata.Name, result, obj.Metadata.Version); err != nil {
		return err
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(env.stdout, "  "+line); err != nil {
			return err
		}
	}
	return nil
}

// Run settles a change, or with --check prints what is known about it.
func (o *SettleOptions) Run(env *environment) error {
	ask := func(ctx context.Context) (api.Change, error) { return o.client().Settle(ctx, o.Change, o.Base) }
	if o.Check {
		ask = func(ctx context.Context) (api.Change, error) { return o.client().Change(ctx, o.Change) }
	}
	c, err := ask(context.Background())
	if err != nil {
		return withExitCode(err)
	}
	if o.Output != "table" {
		return printValue(env.stdout, o.Output, c)
	}
	_, err = fmt.Fprintf(env.stdout, "%s %s (offset %d)\n", c.ID, c.Result, c.Offset)
	return err
}

// Run prints one object or all objects of a kind.
func (o *GetOptions) Run(env *environment) error {
	kind, err := resource.ParseType(o.Kind)
	if err != nil {
		return withExitCode(err)
	}
	if o.Name != "" {
		obj, err := o.client().Get(context.Background(), kind, o.Name)
		if err != nil {
			return withExitCode(err)
		}
		if o.Output == "table" {
			return printTable(env.stdout, kind, []resource.Object{obj})
		}
		return printValue(env.stdout, o.Output, obj)
	}
	list, err := o.client().List(context.Background(), kind)
	if err != nil {
		return withExitCode(err)
	}
	if o.Output == "table" {
		return printTable(env.stdout, kind, list.Items)
	}
	return printValue(env.stdout, o.Output, list)
}

const summaryWidth = 72 // bytes

// summary returns a spec on one line, truncated to summaryWidth.
func summary(spec []byte) string {
	s := strings.Join(strings.Fields(string(spec)), " ")
	if len(s) > summaryWidth {
		return s[:summaryWidth] + "…"
	}
	return s
}

// printValue prints v as indented JSON, or as YAML if format is "yaml".
func printValue(w io.Writer, format string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	if format == "yaml" {
		if b, err = yaml.JSONToYAML(b); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(w, strings.TrimRight(string(b), "\n"))
	return err
}

// Run deletes an object.
func (o *DeleteOptions) Run(env *environment) error {
	kind, err := resource.ParseType(o.Kind)
	if err != nil {
		return withExitCode(err)
	}
	if err := o.client().Delete(context.Background(), kind, o.Name); err != nil {
		return withExitCode(err)
	}
	_, err = fmt.Fprintf(env.stdout, "%s/%s deleted\n", kind, o.Name)
	return err
}

// Run prints changes of a kind until it is interrupted.
func (o *WatchOptions) Run(env *environment) error {
	kind, err := resource.ParseType(o.Kind)
	if err != nil {
		return withExitCode(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	err = o.client().Follow(ctx, kind, o.From, func(ev api.Event) error {
		if ev.Object == nil {
			return nil
		}
		if o.Output != "table" {
			return printValue(env.stdout, o.Output, ev)
		}
		_, err := fmt.Fprintf(env.stdout, "%d %s %s/%s %s\n", ev.Offset, ev.Type, ev.Object.Kind, ev.Object.Metadata.Name, summary(ev.Object.Spec))
		return err
	})
	if ctx.Err() != nil {
		return nil
	}
	return withExitCode(err)
}

// Run prints the state of an entry.
func (o *DumpOptions) Run(env *environment) error {
	raw, err := client.New(netio.TCP(), o.Server, o.OperatorToken).Dump(context.Background())
	if err != nil {
		return withExitCode(err)
	}
	return printValue(env.stdout, "json", raw)
}

package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/api"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/client"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
)

// coded gives a client error its exit code.
func coded(err error) error {
	switch {
	case fault.Is(err, client.KindConflict):
		return &codedError{code: exitConflict, err: err}
	case fault.Is(err, client.KindUnknown):
		return &codedError{code: exitUnknown, err: err}
	case fault.Is(err, client.KindFile), fault.Is(err, resource.KindInvalid):
		return &codedError{code: exitUsage, err: err}
	default:
		return err
	}
}

func (o *ClientOptions) client() *client.Client {
	return client.New(netio.TCP(), o.Server, o.OperatorToken)
}

// Run applies a file. Documents are checked before the first is sent.
func (o *ApplyOptions) Run(env *environment) error {
	file, err := readFile(o.File)
	if err != nil {
		return &codedError{code: exitUsage, err: err}
	}
	objects, err := client.Decode(file)
	if err != nil {
		return coded(err)
	}
	for _, obj := range objects {
		if err := o.applyOne(env, obj); err != nil {
			return coded(err)
		}
	}
	return nil
}

// applyOne replaces the version that is current now, unless the file names one.
func (o *ApplyOptions) applyOne(env *environment, obj resource.Object) error {
	ctx, c := context.Background(), o.client()
	list, err := c.List(ctx, obj.Kind)
	if err != nil {
		return err
	}
	result := "created"
	for _, cur := range list.Items {
		if cur.Metadata.Name != obj.Metadata.Name {
			continue
		}
		result = "changed"
		if resource.SameSpec(cur.Spec, obj.Spec) {
			result = "unchanged"
		}
		if obj.Metadata.Version == 0 {
			obj.Metadata.Version = cur.Metadata.Version
		}
	}
	done, err := c.Put(ctx, obj)
	if err != nil {
		return err
	}
	if o.Output != "table" {
		return printValue(env.stdout, o.Output, done)
	}
	_, err = fmt.Fprintf(env.stdout, "%s/%s %s (version %d)\n", done.Kind, done.Metadata.Name, result, done.Metadata.Version)
	return err
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// Run shows objects.
func (o *GetOptions) Run(env *environment) error {
	kind, err := resource.ParseType(o.Kind)
	if err != nil {
		return coded(err)
	}
	if o.Name != "" {
		obj, err := o.client().Get(context.Background(), kind, o.Name)
		if err != nil {
			return coded(err)
		}
		if o.Output == "table" {
			return printTable(env.stdout, []resource.Object{obj})
		}
		return printValue(env.stdout, o.Output, obj)
	}
	list, err := o.client().List(context.Background(), kind)
	if err != nil {
		return coded(err)
	}
	if o.Output == "table" {
		return printTable(env.stdout, list.Items)
	}
	return printValue(env.stdout, o.Output, list)
}

func printTable(w io.Writer, items []resource.Object) error {
	tw := tabwriter.NewWriter(w, 0, 0, 3, ' ', 0)
	_, _ = fmt.Fprintln(tw, "NAME\tVERSION\tIN FORCE\tSPEC") // Flush returns the error
	for _, o := range items {
		force := "?"
		if o.Status != nil {
			force = fmt.Sprintf("%d/%d", o.Status.InForce.Seen, o.Status.InForce.Of)
		}
		_, _ = fmt.Fprintf(tw, "%s\t%d\t%s\t%s\n", o.Metadata.Name, o.Metadata.Version, force, summary(o.Spec))
	}
	return tw.Flush()
}

const summaryWidth = 72 // characters

func summary(spec []byte) string {
	s := strings.Join(strings.Fields(string(spec)), " ")
	if len(s) > summaryWidth {
		return s[:summaryWidth] + "…"
	}
	return s
}

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
		return coded(err)
	}
	if err := o.client().Delete(context.Background(), kind, o.Name); err != nil {
		return coded(err)
	}
	_, err = fmt.Fprintf(env.stdout, "%s/%s deleted\n", kind, o.Name)
	return err
}

// Run prints changes until a signal.
func (o *WatchOptions) Run(env *environment) error {
	kind, err := resource.ParseType(o.Kind)
	if err != nil {
		return coded(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	err = o.client().Watch(ctx, kind, o.From, func(ev api.Event) error {
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
	return coded(err)
}

// Run prints the state of an entry.
func (o *DumpOptions) Run(env *environment) error {
	raw, err := client.New(netio.TCP(), o.Server, o.OperatorToken).Dump(context.Background())
	if err != nil {
		return coded(err)
	}
	return printValue(env.stdout, "json", raw)
}

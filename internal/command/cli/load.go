package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"

	"github.com/dogwoodmill/dogwoodmill/internal/command/load"
)

// Run sends the load and prints the report.
func (o *LoadOptions) Run(env *environment) error {
	cfg, err := o.config()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	interactive := isTerminal(env.stderr)
	rep := load.Run(ctx, cfg, func(r *load.Report) {
		if interactive {
			_, _ = fmt.Fprint(env.stderr, "\r\033[K") // progress is best effort; write errors are ignored
			r.Summary().Progress(env.stderr)
		}
	})
	if interactive {
		_, _ = fmt.Fprint(env.stderr, "\r\033[K") // as above
	}
	if o.Output == "json" {
		enc := json.NewEncoder(env.stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(rep.Summary())
	}
	return rep.Summary().Table(env.stdout)
}

// Package cli implements the command line: its options, their validation and the commands.
package cli

import (
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/command/load"
)

const (
	envPrefix   = "DOGWOODMILL"
	description = "Serves language-model prompts of very unlike lengths: every admitted request is answered in full and on time, or refused honestly."

	// DefaultPort is the default port of the first entry that dev runs.
	DefaultPort = 8080
	maxDevPort  = 65534 // the second entry takes the next port
)

// Exit codes.
const (
	exitOK          = 0
	exitFailed      = 1 // the command failed
	exitUsage       = 2 // invalid command line or file; nothing was done
	exitConflict    = 3 // another version is current or the object is in use
	exitUnknown     = 4 // the outcome of the change is unknown; it may still take effect
	exitNoEntry     = 5 // no entry could be reached
	exitDrainFailed = 5 // the entry stopped with requests in progress
)

// Options holds the whole command line. Each flag can also be set by an environment
// variable, such as --log-level by DOGWOODMILL_LOG_LEVEL.
type Options struct {
	LogLevel  string `help:"Least level that is logged: debug, info, warn or error." default:"info" enum:"debug,info,warn,error"`
	LogFormat string `help:"Format of the log: text or json." default:"text" enum:"text,json"`

	Entry   EntryOptions   `cmd:"" help:"Run the daemon of an entry VM."`
	Gateway GatewayOptions `cmd:"" help:"Run the daemon of an entry VM on the users' platform."`
	Dev     DevOptions     `cmd:"" help:"Run everything in one process: two entries, engines, services and the platform."`
	Apply   ApplyOptions   `cmd:"" help:"Create or change the objects of a YAML or JSON file."`
	Get     GetOptions     `cmd:"" help:"Show objects."`
	Delete  DeleteOptions  `cmd:"" help:"Delete an object."`
	Watch   WatchOptions   `cmd:"" help:"Print changes of a kind as they take effect."`
	Settle  SettleOptions  `cmd:"" help:"Decide a change whose answer was lost."`
	Dump    DumpOptions    `cmd:"" help:"Print the state of an entry as JSON."`
	Load    LoadOptions    `cmd:"" help:"Send prompts of mixed lengths and report the time to first token."`
	Explain ExplainOptions `cmd:"" help:"Tell from log lines what became of requests, and why."`
	Config  ConfigOptions  `cmd:"" help:"Check a configuration of the users' platform."`

	Experiment ExperimentOptions `cmd:"" help:"Play a load and its faults on emulated engines, by several policies."`
}

// ExperimentOptions are the settings of experiment.
type ExperimentOptions struct {
	File   string   `arg:"" help:"YAML file that describes fleet, load and faults; see deploy/experiments."`
	Policy []string `help:"Policies to play; those of the file if none is given."`
	Days   int      `help:"Days to play; those of the file if 0."`
	Output string   `help:"Format: text or json." short:"o" default:"text" enum:"text,json"`
	Plots  string   `help:"Directory for plots as SVG; none are drawn if it is empty."`
}

// EntryOptions are the settings of entry.
type EntryOptions struct {
	VM             string        `help:"Name of this VM." required:"true"`
	FailureDomain  string        `help:"Failure domain of this VM." required:"true"`
	Listen         string        `help:"Address for callers and operators, host:port." default:"127.0.0.1:8080"`
	PeerListen     string        `help:"Address for other entries, host:port." default:"127.0.0.1:8090"`
	PeerKey        string        `help:"Key that all entries share; at least 8 characters." required:"true"`
	Seeds          []string      `help:"Peer addresses of some entries, host:port; none starts alone."`
	LogURL         string        `help:"Platform's store, http://host:port; the log is topics of it." required:"true"`
	LogRetention   time.Duration `help:"How long the log keeps a record; snapshots of the configuration are written well before." default:"24h"`
	VMListURL      string        `help:"Platform's VM list, http://host:port." required:"true"`
	WeightStoreURL string        `help:"Platform's weight store, http://host:port." required:"true"`
	OperatorToken  string        `help:"Token that operators send; at least 8 characters." required:"true"`
	MaxBodyBytes   int           `help:"Longest request body, in bytes." default:"33554432"`
	Drain          time.Duration `help:"Longest time that a leaving entry waits for requests in progress." default:"2m"`
}

// GatewayOptions are the settings of gateway, an entry on the users' platform.
type GatewayOptions struct {
	Boot string `help:"File with the platform's settings of this process." required:"true"`
}

// ExplainOptions are the settings of explain.
type ExplainOptions struct {
	ID   []string `arg:"" optional:"" help:"Ids of requests. With one its whole story is told, with none all requests of the logs are counted."`
	IDs  string   `name:"ids" help:"File with ids, separated by white space."`
	Logs string   `help:"File with the JSON log lines of all entries, in any order; - reads standard input." default:"-"`
}

// ConfigOptions are the commands of config.
type ConfigOptions struct {
	Check ConfigCheckOptions `cmd:"" help:"Report the faults of a configuration file and what differs from another."`
}

// ConfigCheckOptions are the settings of config check.
type ConfigCheckOptions struct {
	File    string `arg:"" help:"Configuration file in JSON."`
	Against string `help:"File with the configuration in force, to report what differs from it."`
	Output  string `short:"o" help:"Format: text or json." default:"text" enum:"text,json"`
}

// Help returns the text below the help of config check.
func (*ConfigCheckOptions) Help() string {
	return "Differences from --against alone are no findings for the exit code, but the version must be higher. API keys are never printed.\n\nExit codes: 0 clean; 1 findings; 2 a file can't be read, or that of --against is no configuration."
}

// DevOptions are the settings of dev.
type DevOptions struct {
	Port int `help:"Port of the first entry; the second has the next one." default:"8080"`
}

// Validate checks the port range.
func (o *DevOptions) Validate() error {
	if o.Port < 1 || o.Port > maxDevPort {
		return fmt.Errorf("--port: \"%d\" is not allowed; allowed: 1 to %d", o.Port, maxDevPort)
	}
	return nil
}

// ClientOptions are the settings that the operators' commands share.
type ClientOptions struct {
	Server        string `help:"URL of an entry." default:"http://127.0.0.1:8080"`
	OperatorToken string `help:"Operator token." required:"true"`
	Output        string `short:"o" help:"Format: table, json or yaml." default:"table" enum:"table,json,yaml"`
}

// Validate checks the URL.
func (o *ClientOptions) Validate() error { return checkURL("--server", o.Server) }

func checkURL(flag, value string) error {
	if u, err := url.Parse(value); err != nil || u.Scheme != "http" || u.Host == "" {
		return fmt.Errorf("%s: %q is not allowed; allowed: http://host:port", flag, value)
	}
	return nil
}

// ApplyOptions are the settings of apply.
type ApplyOptions struct {
	ClientOptions
	File   []string `short:"f" help:"File with one or more documents, or a directory of .yaml, .yml and .json files; repeat it or separate by commas; - reads standard input." required:"true"`
	DryRun bool     `help:"Print what would change and send nothing."`
}

// exitCodes is part of the help of the operators' commands.
const exitCodes = `Exit codes: 0 done; 1 failed or refused; 2 the command line or a file is wrong, nothing was done; 3 another version is current or the object is in use; 4 the change may yet take effect, "settle" decides it; 5 no entry could be reached.`

// Help returns the text below the help of apply.
func (*ApplyOptions) Help() string {
	return "Every document is checked before the first is sent. Objects are applied in the order in which they refer to each other; one that is as wanted already is not sent. A changed object is shown with the lines that differ.\n\n" + exitCodes
}

// SettleOptions are the settings of settle.
type SettleOptions struct {
	ClientOptions
	Change string `arg:"" help:"Id of the change, as the error named it."`
	Base   uint64 `help:"Offset that the error named; needed once the change is old."`
	Check  bool   `help:"Only ask what is known; decide nothing."`
}

// Help returns the text below the help of settle.
func (*SettleOptions) Help() string {
	return "Prints accepted, conflict, in_use, invalid, expired or voided. After it the answer never changes: a change that was voided takes no effect, however late it comes.\n\n" + exitCodes
}

// Help returns the text below the help of delete.
func (*DeleteOptions) Help() string { return exitCodes }

// Help returns the text below the help of watch.
func (*WatchOptions) Help() string {
	return "It resumes by itself after a lost connection. Where the changes since then are kept no more, the objects of a new list are printed as \"list\".\n\n" + exitCodes
}

// GetOptions are the settings of get.
type GetOptions struct {
	ClientOptions
	Kind string `arg:"" help:"workspaces, deployments, versions, rules, services or upstreams."`
	Name string `arg:"" optional:"" help:"Name of one object."`
}

// DeleteOptions are the settings of delete.
type DeleteOptions struct {
	ClientOptions
	Kind string `arg:"" help:"Kind of the object."`
	Name string `arg:"" help:"Name of the object."`
}

// WatchOptions are the settings of watch.
type WatchOptions struct {
	ClientOptions
	Kind string `arg:"" help:"Kind to watch."`
	From uint64 `help:"Offset after which changes are printed; 0 starts now."`
}

// DumpOptions are the settings of dump.
type DumpOptions struct {
	Server        string `help:"URL of an entry." default:"http://127.0.0.1:8080"`
	OperatorToken string `help:"Operator token." required:"true"`
}

// Validate checks the URL.
func (o *DumpOptions) Validate() error { return checkURL("--server", o.Server) }

// LoadOptions are the settings of load.
type LoadOptions struct {
	Target   []string      `help:"URL of an entry; repeat it or separate by commas to spread the load." default:"http://127.0.0.1:8080"`
	Key      string        `help:"Bearer key of the workspace." default:"guild-dev-key"`
	Model    string        `help:"Deployment to ask." default:"assistant"`
	Rate     float64       `help:"Requests a second, sent whether or not earlier ones were answered." default:"5"`
	Duration time.Duration `help:"Time during which requests are sent." default:"10s"`
	Mix      string        `help:"Prompt lengths in tokens and their weights." default:"1k=80,8k=15,50k=4,200k=1"`
	Patience time.Duration `help:"Time limit of a request." default:"30s"`
	Abandon  float64       `help:"Share of requests whose caller leaves after a random part of the time limit." default:"0"`
	MaxToken int           `name:"max-tokens" help:"max_tokens of a request." default:"64"`
	Seed     uint64        `help:"Seed of arrivals, lengths and texts." default:"1"`
	Output   string        `short:"o" help:"Format of the report: table or json." default:"table" enum:"table,json"`
}

// config validates the options and converts them to the settings of a load run.
func (o *LoadOptions) config() (load.Config, error) {
	mix, err := load.ParseMix(o.Mix)
	if err != nil {
		return load.Config{}, fmt.Errorf("--mix: %q is not allowed: %w; allowed: lengths and weights such as 1k=80,200k=1", o.Mix, err)
	}
	for _, t := range o.Target {
		if err := checkURL("--target", t); err != nil {
			return load.Config{}, err
		}
	}
	cfg := load.Config{
		Targets: o.Target, Key: o.Key, Model: o.Model, Rate: o.Rate, Duration: o.Duration, Mix: mix,
		Patience: o.Patience, Abandon: o.Abandon, MaxTokens: o.MaxToken, Seed: o.Seed,
	}
	return cfg, cfg.Check()
}

// Validate checks the options.
func (o *LoadOptions) Validate() error {
	_, err := o.config()
	return err
}

// environment holds the output streams and the logger of a command.
type environment struct {
	stdout, stderr io.Writer
	log            *log.Logger
}

// exitStatus is the panic value by which kong's exit function ends the parser.
type exitStatus int

// Main parses args, runs the command and returns the exit code of the process.
func Main(args []string, stdout, stderr io.Writer) (code int) {
	var opts Options
	defer func() {
		switch r := recover().(type) {
		case nil:
		case exitStatus:
			code = int(r)
		default:
			panic(r)
		}
	}()
	parser, err := kong.New(&opts,
		kong.Name("dogwoodmill"),
		kong.Description(description),
		kong.DefaultEnvars(envPrefix),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { panic(exitStatus(code)) }), // called after --help
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "dogwoodmill:", err)
		return exitFailed
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "dogwoodmill:", err)
		return exitUsage
	}
	env := &environment{stdout: stdout, stderr: stderr, log: newLogger(&opts, stderr)}
	if err := ctx.Run(env); err != nil {
		_, _ = fmt.Fprintln(stderr, "dogwoodmill:", err)
		return exitCode(err)
	}
	return exitOK
}

// codedError is an error with the exit code of its command.
type codedError struct {
	code int
	err  error
}

func (e *codedError) Error() string { return e.err.Error() }

func (e *codedError) Unwrap() error { return e.err }

func exitCode(err error) int {
	var e *codedError
	if errors.As(err, &e) {
		return e.code
	}
	return exitFailed
}

func newLogger(opts *Options, w io.Writer) *log.Logger {
	level, err := log.ParseLevel(opts.LogLevel)
	if err != nil {
		level = log.InfoLevel
	}
	format := log.TextFormatter
	if strings.EqualFold(opts.LogFormat, "json") {
		format = log.JSONFormatter
	}
	return log.NewWithOptions(w, log.Options{Level: level, Formatter: format, ReportTimestamp: true, TimeFormat: time.RFC3339Nano})
}

// isTerminal reports whether w is a terminal.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

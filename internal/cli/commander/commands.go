package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"
)

// Commands declares the subcommands of greengagewall.
type Commands struct {
	Serve *ServeCmd `arg:"subcommand:serve" help:"run an entry instance"`

	Submit  *SubmitCmd  `arg:"subcommand:submit" help:"submit a job"`
	Cancel  *CancelCmd  `arg:"subcommand:cancel" help:"cancel a job"`
	Status  *StatusCmd  `arg:"subcommand:status" help:"show a job and its tasks"`
	Wait    *WaitCmd    `arg:"subcommand:wait" help:"wait until a job is final"`
	Call    *CallCmd    `arg:"subcommand:call" help:"call a service"`
	Resolve *ResolveCmd `arg:"subcommand:resolve" help:"find out what became of a call"`
	Explain *ExplainCmd `arg:"subcommand:explain" help:"show the decision records of a job or call"`
	Export  *ExportCmd  `arg:"subcommand:export" help:"export the decision records of a team"`
	Verify  *VerifyCmd  `arg:"subcommand:verify" help:"check exported records without an instance"`
	State   *StateCmd   `arg:"subcommand:state" help:"show owners, loads and peers"`
	Version *VersionCmd `arg:"subcommand:version" help:"show the version"`

	Completion *CompletionCmd `arg:"subcommand:completion" help:"print a completion script for bash or zsh"`

	Check   *CheckCmd   `arg:"subcommand:check" help:"check configuration files"`
	Render  *RenderCmd  `arg:"subcommand:render" help:"show the merged configuration"`
	Diff    *DiffCmd    `arg:"subcommand:diff" help:"compare configuration files with the document in force"`
	Publish *PublishCmd `arg:"subcommand:publish" help:"publish configuration files"`
	Offsets *OffsetsCmd `arg:"subcommand:offsets" help:"show the configuration offset in force at each instance"`
	Key     *KeyCmd     `arg:"subcommand:key" help:"make, grant and withdraw keys"`
	Report  *ReportCmd  `arg:"subcommand:report" help:"show the burn of service levels, or the measures"`
}

// Description implements arg.Described.
func (Commands) Description() string {
	return "greengagewall schedules the work of many teams on one cluster."
}

// Epilogue implements arg.Epilogued.
func (Commands) Epilogue() string {
	return exitCodes
}

// command is implemented by every subcommand. Run returns the exit code.
type command interface {
	Run(ctx context.Context, env Env) (int, error)
}

// Main runs a command line, given without the program name, and returns the
// exit code of the process.
func Main(version string, line []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// Restores the default signal handling, so that a second signal ends the
	// process without waiting for open requests.
	context.AfterFunc(ctx, stop)

	return run(ctx, version, line, Env{
		Out: os.Stdout, Err: os.Stderr, Client: &http.Client{}, Now: time.Now, Sleep: sleep,
	})
}

// run parses a command line and runs its subcommand.
func run(ctx context.Context, version string, line []string, env Env) int {
	var commands Commands
	parser, err := arg.NewParser(arg.Config{Program: "greengagewall", Out: env.Err}, &commands)
	if err != nil {
		return printError(env.Err, codeUsage, err)
	}
	switch err := parser.Parse(line); {
	case errors.Is(err, arg.ErrHelp):
		return help(parser, env.Out, 0)
	case err != nil:
		parser.WriteUsage(env.Err)

		return printError(env.Err, codeUsage, err)
	}
	if commands.Version != nil {
		commands.Version.version = version
	}
	if commands.Serve != nil {
		commands.Serve.version = version
	}
	subcommand, ok := parser.Subcommand().(command)
	if !ok {
		return help(parser, env.Err, codeUsage)
	}
	code, err := subcommand.Run(ctx, env)
	if err != nil && code == codeOK {
		// The result could not be written.
		code = codeUnknown
	}

	return printError(env.Err, code, err)
}

func help(parser *arg.Parser, w io.Writer, code int) int {
	if err := parser.WriteHelpForSubcommand(w, parser.SubcommandNames()...); err != nil {
		parser.WriteHelp(w)
	}

	return code
}

// printError prints err unless it is nil, and returns code.
func printError(w io.Writer, code int, err error) int {
	if err != nil {
		_, _ = fmt.Fprintln(w, "greengagewall:", err)
	}

	return code
}

// sleep waits for a duration or until ctx is done.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// VersionCmd implements the version command.
type VersionCmd struct {
	Format
	version string
}

// Run prints the version.
func (c *VersionCmd) Run(_ context.Context, env Env) (int, error) {
	if err := c.check(); err != nil {
		return codeUsage, err
	}

	return 0, c.write(env.Out, map[string]string{"version": c.version}, func(w io.Writer) error {
		p := printer{w: w}
		p.printf("greengagewall %s\n", c.version)

		return p.err
	})
}

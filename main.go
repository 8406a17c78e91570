// Command papayaquay serves online and batch inference on one fleet of backend
// servers.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	app := &cli.Command{
		Name:     "papayaquay",
		Usage:    "serve online and batch inference on one fleet of backend servers",
		Version:  version,
		Commands: commands(),
		ExitErrHandler: func(context.Context, *cli.Command, error) {
			// main prints the error and sets the exit code.
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "papayaquay:", errorMessage(err))
		os.Exit(exitCode(err))
	}
}

// commands returns the commands, in their order in the help text.
func commands() []*cli.Command {
	return []*cli.Command{
		cmdServe, cmdRun, cmdCheckConfig, cmdDemo, cmdAsk, cmdSubmit, cmdFetch, cmdJob,
		cmdService, cmdModel, cmdAdapter, cmdAccount, cmdHistory,
		cmdStatus, cmdDrain, cmdBench, cmdVersion,
	}
}

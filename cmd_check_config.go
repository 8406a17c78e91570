package main

import (
	"context"
	"fmt"

	"papayaquay/io/settings"

	"github.com/urfave/cli/v3"
)

// cmdCheckConfig checks a settings file.
var cmdCheckConfig = &cli.Command{
	Name:  "check-config",
	Usage: "check a settings file without starting anything",
	Flags: []cli.Flag{configFlag, &cli.BoolFlag{Name: "show", Usage: "print the settings with all defaults"}},
	Action: func(_ context.Context, c *cli.Command) error {
		s, err := settings.Load(c.String("config"))
		if err != nil {
			return err
		}
		if !c.Bool("show") {
			fmt.Fprintln(c.Root().Writer, "ok")
			return nil
		}
		text, err := s.Text()
		if err == nil {
			fmt.Fprint(c.Root().Writer, text)
		}
		return err
	},
}

package main

import (
	"strings"

	"github.com/urfave/cli/v3"

	"peridotpick.example/common/errkind"
	"peridotpick.example/lab/caller"
)

// clientFlags returns the flags of every command that sends requests to an entry, and more.
func clientFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "entry", Value: "http://127.0.0.1:7001", Sources: cli.EnvVars("PERIDOTPICK_ENTRY"), Usage: "base URL of an entry or of the load balancer"},
		&cli.StringFlag{Name: "token", Sources: cli.EnvVars("PERIDOTPICK_TOKEN"), Usage: "bearer token"},
		&cli.StringFlag{Name: "team", Usage: "name of the team; in development mode, in place of a token"},
		outputFlag(),
	}, more...)
}

// newClient returns a client for the entry that the flags of a command name.
func newClient(cmd *cli.Command) (*caller.Client, error) {
	base := strings.TrimSuffix(cmd.String("entry"), "/")
	if !strings.HasPrefix(base, "http://") && !strings.HasPrefix(base, "https://") {
		return nil, errkind.NewField(errkind.InvalidRequest, "--entry", base+": a URL such as http://127.0.0.1:7001 is required")
	}
	if token := cmd.String("token"); token != "" {
		return caller.NewWithToken(base, token), nil
	}
	return caller.New(strings.TrimPrefix(base, "http://"), cmd.String("team")), nil
}

// clientAndArg returns a client and the only argument of a command; name is that of the argument.
func clientAndArg(cmd *cli.Command, name string) (*caller.Client, string, error) {
	arg, err := oneArg(cmd, name)
	if err != nil {
		return nil, "", err
	}
	client, err := newClient(cmd)
	return client, arg, err
}

// oneArg returns the only argument of a command; name is that of the argument.
func oneArg(cmd *cli.Command, name string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", errkind.NewField(errkind.InvalidRequest, name, "exactly one argument is required")
	}
	return cmd.Args().First(), nil
}

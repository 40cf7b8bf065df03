package main

import (
	"context"
	"os"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"peridotpick.example/common/logs"
	"peridotpick.example/lab/demo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "run the example jobs of both users on a whole deployment within this process",
		Description: "Example:\n  peridotpick demo --log info",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "log", Value: "error", Usage: "lowest level of the lines logged to standard error"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			level, err := zerolog.ParseLevel(cmd.String("log"))
			if err != nil {
				return err
			}
			sink := logs.New(os.Stderr, level)
			defer func() { _ = sink.Close() }()
			return demo.Run(ctx, os.Stdout, sink)
		},
	}
}

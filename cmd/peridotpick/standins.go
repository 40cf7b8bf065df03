package main

import (
	"context"
	"net"
	"time"

	"github.com/urfave/cli/v3"

	"peridotpick.example/lab/backendserver"
	"peridotpick.example/lab/platformstandin"
)

// platformCommand runs a fake of the platform, to try a deployment by hand.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name: "platform-standin", Usage: "run a fake of the platform in memory, for tests by hand only",
		Description: "Example:\n  peridotpick platform-standin --listen 127.0.0.1:7900",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7900", Usage: "IP:port"},
			&cli.DurationFlag{Name: "write-latency", Value: 5 * time.Millisecond, Usage: "latency of a synced write"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			l, err := net.Listen("tcp", cmd.String("listen"))
			if err != nil {
				return err
			}
			t := platformstandin.NewTable(1, platformstandin.DefaultWriteRate, platformstandin.DefaultReadRate)
			t.SetFaults(platformstandin.Faults{WriteLatency: cmd.Duration("write-latency")})
			server := platformstandin.NewServer(t, platformstandin.NewObjects(), platformstandin.NewWorkers(time.Second, nil))
			context.AfterFunc(ctx, func() { _ = server.Close() })
			return server.Serve(l)
		},
	}
}

// backendCommand runs a fake of a backend server, to try a deployment by hand.
func backendCommand() *cli.Command {
	return &cli.Command{
		Name: "backend-standin", Usage: "run a fake of a backend server, for tests by hand only",
		Description: "Example:\n  peridotpick backend-standin --listen 127.0.0.1:8001",
		Flags:       []cli.Flag{&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8001", Usage: "IP:port"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			server, err := backendserver.New(cmd.String("listen"), cmd.String("listen"), backendserver.NewJournal())
			if err != nil {
				return err
			}
			context.AfterFunc(ctx, server.Kill)
			err = server.Serve()
			if ctx.Err() != nil {
				return nil
			}
			return err
		},
	}
}

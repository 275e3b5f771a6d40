package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	table "banyanyard/io/platform"
	"banyanyard/node"
	"banyanyard/node/settings"
	"banyanyard/platform"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/spf13/cobra"
)

func newServe() *cobra.Command {
	var file string
	var onPlatform bool
	c := &cobra.Command{
		Use:   "serve {--settings FILE | --platform}",
		Short: "Run one entry instance",
		Long: "Run one entry instance until SIGTERM or SIGINT, which stop it gracefully.\n" +
			"With --platform the platform's settings file is used, which the variable\n" +
			platform.SettingsVariable + " names.",
		Example: "  banyanyard serve --settings /etc/banyanyard/settings.toml",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			switch {
			case onPlatform:
				return platform.Serve(c.Context())
			case file == "":
				return &usageError{cause: errors.New(`required flag "settings" or "platform" not set`)}
			}
			return serve(c.Context(), file)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "settings file")
	c.Flags().BoolVar(&onPlatform, "platform", false, "use the platform's settings file")
	c.MarkFlagsMutuallyExclusive("settings", "platform")
	return c
}

func serve(ctx context.Context, file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	key, err := s.SessionKey()
	if err != nil {
		return err
	}
	logger, err := newLogger(s.Log.Level)
	if err != nil {
		return err
	}
	store := &table.Client{BaseURL: s.Platform.URL, HTTPClient: &http.Client{}}
	n, err := node.New(node.Config{Settings: s, SessionKey: key, Store: store, Log: logger})
	if err != nil {
		return err
	}
	listeners, err := n.Listen()
	if err != nil {
		return err
	}
	go abortOnSecondSignal(ctx, n)
	return n.Serve(ctx, listeners)
}

// abortOnSecondSignal ends the instance at once when a signal comes while it
// stops gracefully.
func abortOnSecondSignal(ctx context.Context, n *node.Node) {
	<-ctx.Done()
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGINT, syscall.SIGTERM)
	<-again
	n.Abort()
}

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger(level string) (*log.Logger, error) {
	l, err := log.ParseLevel(level)
	if err != nil {
		return nil, &usageError{cause: err}
	}
	return &log.Logger{Handler: json.New(os.Stderr), Level: l}, nil
}

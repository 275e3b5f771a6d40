package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	platformclient "banyanyard/io/platform"
	"banyanyard/node"
	"banyanyard/node/settings"
	"banyanyard/platform"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/spf13/cobra"
)

func newServeCommand() *cobra.Command {
	var settingsFile string
	var usePlatformSettings bool
	c := &cobra.Command{
		Use:   "serve {--settings FILE | --platform}",
		Short: "Run one entry instance",
		Long: "Run one entry instance until SIGTERM or SIGINT, which stops it gracefully.\n" +
			"With --platform, the settings file named by the environment variable\n" +
			platform.SettingsVariable + " is used.",
		Example: "  banyanyard serve --settings /etc/banyanyard/settings.toml",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			switch {
			case usePlatformSettings:
				return platform.Serve(c.Context())
			case settingsFile == "":
				return &usageError{cause: errors.New(`required flag "settings" or "platform" not set`)}
			}
			return runInstance(c.Context(), settingsFile)
		},
	}
	c.Flags().StringVar(&settingsFile, "settings", "", "settings file")
	c.Flags().BoolVar(&usePlatformSettings, "platform", false, "use the platform's settings file")
	c.MarkFlagsMutuallyExclusive("settings", "platform")
	return c
}

// runInstance runs the instance that the settings file describes until ctx ends
// and the instance has stopped.
func runInstance(ctx context.Context, settingsFile string) error {
	s, err := settings.Load(settingsFile)
	if err != nil {
		return err
	}
	sessionKey, err := s.SessionKey()
	if err != nil {
		return err
	}
	logger, err := newLogger(s.Log.Level)
	if err != nil {
		return err
	}
	store := &platformclient.Client{BaseURL: s.Platform.URL, HTTPClient: &http.Client{}}
	n, err := node.New(node.Config{Settings: s, SessionKey: sessionKey, Store: store, Log: logger})
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

// abortOnSecondSignal aborts the graceful stop that begins when ctx ends if
// another SIGINT or SIGTERM arrives.
func abortOnSecondSignal(ctx context.Context, n *node.Node) {
	<-ctx.Done()
	secondSignal := make(chan os.Signal, 1)
	signal.Notify(secondSignal, syscall.SIGINT, syscall.SIGTERM)
	<-secondSignal
	n.Abort()
}

// newLogger returns a logger that writes JSON lines at or above level to standard
// error.
func newLogger(level string) (*log.Logger, error) {
	l, err := log.ParseLevel(level)
	if err != nil {
		return nil, &usageError{cause: err}
	}
	return &log.Logger{Handler: json.New(os.Stderr), Level: l}, nil
}

package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"hazelwing/internal/controlplane/origin"
	"hazelwing/internal/controlplane/transport"
	"hazelwing/internal/operator"
	"hazelwing/internal/store"
)

func originCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "origin",
		Short: "Be one of the machines that hold a fleet's configuration",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	var file string
	add := func(use, short, long string, do func(cmd *cobra.Command, o *operator.Origin) error) {
		sub := &cobra.Command{Use: use, Short: short, Long: long, Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				if file == "" {
					return errors.New("origin: --file is wanted")
				}
				o, err := operator.LoadOrigin(file)
				if err != nil {
					return err
				}
				return do(cmd, o)
			}}
		sub.Flags().StringVar(&file, "file", os.Getenv("HAZELWING_ORIGIN_FILE"), "the origin's file (or HAZELWING_ORIGIN_FILE)")
		c.AddCommand(sub)
	}
	add("found", "Found an origin: make its store, empty, for the file's fleet, epoch and peers",
		`Found an origin, once on each of the machines set aside, with the same fleet, epoch and peers in each file. A store of a lower epoch is
replaced; one of the same epoch or a higher one is left as it is, and the status is 1.`,
		func(cmd *cobra.Command, o *operator.Origin) error {
			st, err := openOriginStore(o)
			if err != nil {
				return err
			}
			err = origin.Bootstrap(st, origin.BootstrapConfig{Cluster: o.Cluster, Epoch: uint64(o.Epoch), Origins: o.OriginNames})
			if err = errors.Join(err, st.Close()); err != nil {
				return fmt.Errorf("origin: %s: %w", o.Dir, err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s is founded: fleet %s, epoch %d, %d origins\n", o.Name, o.Cluster, o.Epoch, len(o.OriginNames))
			return nil
		})
	add("run", "Run an origin that was founded",
		`Run an origin until SIGTERM or SIGINT. It ends with status 1 and one line where it cannot start, or where something that others were to
rely on could not be made durable.`,
		func(_ *cobra.Command, o *operator.Origin) error { return runOrigin(o) })
	return c
}

func openOriginStore(o *operator.Origin) (*store.Store, error) {
	fs, err := store.Dir(o.Dir)
	if err != nil {
		return nil, fmt.Errorf("origin: dir: %w", err)
	}
	st, err := store.Open(fs, store.Options{})
	if err != nil {
		return nil, fmt.Errorf("origin: %s: %w", o.Dir, err)
	}
	return st, nil
}

func runOrigin(o *operator.Origin) (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	st, err := openOriginStore(o)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, st.Close()) }()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	node, err := transport.NewOrigin(transport.OriginConfig{Store: st, ListenAddr: o.Listen, PeerAddrs: o.OriginAddrs, AllowedNetworks: o.AllowedNetworks, Log: log,
		Node: origin.Config{BootstrapConfig: origin.BootstrapConfig{Cluster: o.Cluster, Epoch: uint64(o.Epoch), Origins: o.OriginNames}, Self: o.Name, Seed: rand.Uint64(), TickInterval: time.Duration(o.TickInterval)}})
	if err != nil {
		return fmt.Errorf("origin: %w", err)
	}
	log.Info("origin: listening", "name", o.Name, "at", node.Addr(), "fleet", o.Cluster, "epoch", o.Epoch)
	return node.Run(ctx)
}

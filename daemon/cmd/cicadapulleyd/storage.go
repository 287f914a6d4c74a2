package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cicadapulley/cicadapulley/daemon/storage"
)

func newStorage() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "storage",
		Short: "Inspect, back up and restore the data folder of a control VM",
	}
	cmd.AddCommand(newInspect(), newBackup(), newRestore())
	return cmd
}

func newInspect() *cobra.Command {
	return &cobra.Command{
		Use:   "inspect DIR",
		Short: "Show identity, log and damage of a data folder, without changing it",
		Long: "inspect fails if a daemon would refuse the folder. While a daemon writes to it, a\n" +
			"file may be shown as torn or missing.",
		Example: "  cicadapulleyd storage inspect /var/lib/cicadapulley/control",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			listing, err := storage.Inspect(args[0])
			if err != nil {
				return err
			}
			if err := printListing(cmd.OutOrStdout(), listing); err != nil {
				return err
			}
			return errors.Wrapf(listing.Err, "%s", args[0])
		},
	}
}

func printListing(out io.Writer, l storage.Listing) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "identity %s  term %d  commit %d  snapshot %d  last %d\n",
		l.Identity, l.HardState.Term, l.HardState.Commit, l.SnapshotIndex, l.LastIndex)
	fmt.Fprintln(w, "FILE\tBYTES\tFIRST\tLAST\tFRAMES\tDAMAGE")
	for _, f := range l.Files {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\n", f.Name, f.Bytes, f.FirstIndex, f.LastIndex, f.Frames, damage(f))
	}
	return w.Flush()
}

func damage(f storage.FileInfo) string {
	switch {
	case f.Err == nil:
		return "none"
	case f.Torn:
		return "torn: " + f.Err.Error()
	}
	return f.Err.Error()
}

func newBackup() *cobra.Command {
	return &cobra.Command{
		Use:   "backup DIR TO",
		Short: "Copy the data folder of a stopped control VM to a new or empty folder",
		Long: "The daemon must be stopped, since backup takes the folder's lock. The copy has no identity,\n" +
			"so a daemon refuses to start on it; use restore to read it.",
		Example: "  cicadapulleyd storage backup /var/lib/cicadapulley/control /backup/control-1",
		Args:    cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			return backup(args[0], args[1])
		},
	}
}

// backup refuses a folder without a state, because opening it would create one.
func backup(dir, to string) error {
	listing, err := storage.Inspect(dir)
	if err != nil {
		return err
	}
	if listing.Err != nil {
		return errors.Wrapf(listing.Err, "%s", dir)
	}
	store, err := storage.Open(dir, storage.Options{})
	if err != nil {
		return err
	}
	return errors.CombineErrors(store.Backup(to), store.Close())
}

func newRestore() *cobra.Command {
	return &cobra.Command{
		Use:   "restore BACKUP DIR",
		Short: "Write a backup to a new or empty data folder under a new identity",
		Long: "restore prints the new identity. The group in the backup does not contain it: start the\n" +
			"daemon without bootstrap and add it with `cicadapulley group add`.",
		Example: "  cicadapulleyd storage restore /backup/control-1 /var/lib/cicadapulley/control",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			identity, err := storage.Restore(args[0], args[1])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "identity %s\n", identity)
			return err
		},
	}
}

package cli

import (
	"context"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/cicadapulley/cicadapulley/client/internal/output"
)

// versionView describes the build of this binary.
type versionView struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
	Platform string `json:"platform"`
}

// Print implements output.Printable.
func (v *versionView) Print(w *output.Writer) {
	w.Linef("cicadapulley %s (revision %s, %s, %s)", v.Version, v.Revision, v.Go, v.Platform)
}

func (a *app) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version of this binary",
		Example: "  cicadapulley version --output json",
		Args:    cobra.NoArgs,
		RunE:    a.runE(func(context.Context, []string) error { return a.print(newVersionView()) }),
	}
}

// newVersionView reads the build information that the Go toolchain recorded in
// the binary.
func newVersionView() *versionView {
	v := &versionView{Version: "devel", Revision: "unknown", Go: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return v
	}
	if info.Main.Version != "" && info.Main.Version != "(devel)" {
		v.Version = info.Main.Version
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v.Revision = s.Value
		}
	}
	return v
}

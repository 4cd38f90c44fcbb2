package soak

import (
	"context"
	"os/exec"
)

// daemonPackage is what is run.
const daemonPackage = "github.com/cactusproxy/cactusproxy/cmd/cactusproxyd"

func goBuild(ctx context.Context, out string) *exec.Cmd {
	return exec.CommandContext(ctx, "go", "build", "-o", out, daemonPackage)
}

package soak

import (
	"context"
	"os/exec"
)

// daemonPackage is the import path of the daemon under test.
const daemonPackage = "github.com/cactusproxy/cactusproxy/cmd/cactusproxyd"

func goBuild(ctx context.Context, out string) *exec.Cmd {
	return exec.CommandContext(ctx, "go", "build", "-o", out, daemonPackage)
}

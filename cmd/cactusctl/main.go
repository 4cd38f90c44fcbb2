// Command cactusctl changes and shows the configuration of cactusproxy.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/cactusproxy/cactusproxy/operator/client"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := client.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// Command cactusctl shows and changes the configuration of cactusproxy, and explains
// requests from the logs of its hosts.
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

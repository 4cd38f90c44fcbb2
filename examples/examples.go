// Package examples embeds the configuration of two example deployments.
package examples

import "embed"

// Files holds the settings, templates and workspaces, in one folder per deployment.
//
//go:embed */*.json */*.jsonc
var Files embed.FS

// Package examples holds the declarations of two deployments, to read and to try.
package examples

import "embed"

// Files are the settings, templates and workspaces, a folder for each deployment.
//
//go:embed */*.json */*.jsonc
var Files embed.FS

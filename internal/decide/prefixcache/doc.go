// Package prefixcache estimates how much of a prompt an engine still has in its KV cache. It knows only what was
// placed at the engines, and assumes that they evict the least recently used parts of prompts.
package prefixcache

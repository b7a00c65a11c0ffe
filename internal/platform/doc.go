// Package platform is the client of the platform's service: a transactional table, an
// object store and a list of hosts. It makes each call once. The type of a failure says
// whether a write certainly did not take effect.
package platform

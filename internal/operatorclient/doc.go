// Package operatorclient calls the operators' HTTP interface of hosts. It tries several
// hosts in turn, which is safe because every call is idempotent.
package operatorclient

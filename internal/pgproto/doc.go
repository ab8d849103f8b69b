// Package pgproto encodes and decodes the messages of the PostgreSQL wire protocol, version 3.0, for clients and for
// servers. It keeps no state between messages.
package pgproto

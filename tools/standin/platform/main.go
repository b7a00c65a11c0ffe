// Command platform runs the stand-in for the platform's service.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"siskintide.example/siskintide/tools/standin/platform/platformserver"
	"siskintide.example/siskintide/tools/standin/process"
)

func main() {
	listen := "127.0.0.1:7300"
	var options platformserver.Options
	flaggy.SetName("platform")
	flaggy.SetDescription("stand-in for the platform's table, object store and list of hosts")
	flaggy.String(&listen, "l", "listen", "loopback IP and port to listen at")
	flaggy.Duration(&options.HostLag, "", "host-lag", "age of the list of hosts")
	flaggy.Parse()
	server := platformserver.New(options)
	err := process.Serve(listen, server, nil)
	server.Close()
	if err != nil {
		fmt.Fprintln(os.Stderr, "platform:", err)
		os.Exit(1)
	}
}

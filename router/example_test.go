package router_test

import (
	"fmt"

	"bamboohook/router"
)

func Example() {
	r := router.New(router.Options{})
	r.Report(router.EndpointReport{VM: "worker-1", Address: "10.0.0.1:7000", Slots: 8, InFlight: 8})
	r.Report(router.EndpointReport{VM: "worker-2", Address: "10.0.0.2:7000", Slots: 8, InFlight: 3})
	choice, ok := r.Pick("")
	fmt.Println(choice.VM(), choice.Address(), ok)
	r.Done(choice, false)
	// Output: worker-2 10.0.0.2:7000 true
}

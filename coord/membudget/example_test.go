package membudget_test

import (
	"fmt"

	"bramleyquay.example/coord/membudget"
)

func ExampleBudget() {
	b := membudget.New(membudget.Config{Total: 100, Small: 5, Reserve: 20})
	fmt.Println(b.Grow(0, 40))  // half of what is not reserved
	fmt.Println(b.Grow(40, 1))  // the same holder gets no more
	fmt.Println(b.Grow(0, 20))  // another one gets half of the rest
	fmt.Println(b.Grow(0, 5))   // a small one always finds room
	b.Shrink(40)                // the first one has ended
	fmt.Println(b.Grow(20, 10)) // the second one may grow further
	fmt.Println(b.Used())
	// Output:
	// true
	// false
	// true
	// true
	// true
	// 35
}

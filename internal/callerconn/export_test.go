package callerconn

import "os"

func init() { disabled = os.Getenv("BBW_WITHOUT") }

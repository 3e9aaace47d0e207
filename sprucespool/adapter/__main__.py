import gc
import sys

from sprucespool.adapter.session import Session

if __name__ == "__main__":
    # With hundreds of controllers in one process the default garbage collection thresholds scan all of them too often.
    gc.set_threshold(50_000, 20, 100)
    sys.exit(Session(sys.stdin.buffer, sys.stdout.buffer, sys.stderr).run())

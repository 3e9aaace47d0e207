import sys

from sprucespool.adapter.session import Session

if __name__ == "__main__":
    sys.exit(Session(sys.stdin.buffer, sys.stdout.buffer, sys.stderr).run())

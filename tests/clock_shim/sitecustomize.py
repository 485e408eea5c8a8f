"""Shifts the time of day of a Python process by the seconds in a file of 8 bytes."""

import mmap
import os
import struct
import time


def shift_clock(path):
    with open(path, "rb") as file:
        offset = mmap.mmap(file.fileno(), 8, access=mmap.ACCESS_READ)
    actual = time.time
    time.time = lambda: actual() + struct.unpack_from("d", offset)[0]


if "SITE_CLOCK" in os.environ:
    shift_clock(os.environ["SITE_CLOCK"])

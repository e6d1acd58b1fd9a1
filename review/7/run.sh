#!/bin/sh
cd "$(dirname "$0")/../.."
exec target/review-7 review/7/record.txt

#!/bin/sh
cd "$(dirname "$0")/../.."
exec target/review-6 review/6/record.txt

/* Strict check of the framing of chunked bodies (RFC 9112, 7.1). http_parser
 * takes any byte after a CR for the end of a line, and control characters in
 * chunk extensions; a parser that reads such a body differently finds other
 * messages in it. */
#ifndef WP_CHUNKED_H
#define WP_CHUNKED_H

#include "wp_base.h"

typedef enum WPChunkedState {
    WP_CHUNKED_SIZE,      /* before the first digit of a size */
    WP_CHUNKED_DIGITS,    /* after a digit */
    WP_CHUNKED_SPACE,     /* in white space after the size */
    WP_CHUNKED_EXTENSION, /* after the first semicolon */
    WP_CHUNKED_SIZE_LF,   /* before the LF of a chunk-size line */
    WP_CHUNKED_DATA,
    WP_CHUNKED_DATA_CR, /* before the CR after the data */
    WP_CHUNKED_DATA_LF, /* before the LF after the data */
    WP_CHUNKED_LINE,    /* at the start of a trailer line or the empty line */
    WP_CHUNKED_TRAILER_NAME, /* within the field name of a trailer line */
    WP_CHUNKED_TRAILER,      /* within its value */
    WP_CHUNKED_TRAILER_LF,   /* before the LF of a trailer line */
    WP_CHUNKED_END_LF,       /* before the LF of the empty line */
    WP_CHUNKED_END
} WPChunkedState;

/* Position in a chunked body. Zero is its start. */
typedef struct WPChunked {
    WPChunkedState state;
    unsigned n_digits; /* of the current chunk's size */
    uint64_t left;     /* bytes of the current chunk's data */
} WPChunked;

/* Checks the next `n` bytes of the body. Returns false at the first byte that
   is not valid; bytes after the end of the body are not looked at. */
bool wp_chunked_check(WPChunked *c, const char *p, size_t n);

#endif

/* Basic types and helpers that all modules use: length-counted strings,
 * intrusive lists, hashes, time and UUIDs. */
#ifndef WP_BASE_H
#define WP_BASE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#define WP_COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define WP_MS_PER_S 1000
#define WP_US_PER_MS 1000
#define WP_US_PER_S 1000000

/* The current time, passed in by the caller of every function whose result
   depends on it. Intervals and deadlines use the monotonic clock; the wall
   clock only provides time stamps that other boxes read. */
typedef struct WPTime {
    int64_t mono_us; /* microseconds, monotonic in this process */
    int64_t wall_ms; /* Unix milliseconds */
} WPTime;

/* A length-counted string; `p` need not end in a zero byte. */
typedef struct WPStr {
    const char *p;
    size_t n;
} WPStr;

static inline WPStr wp_str(const char *s)
{
    WPStr r = { s ? s : "", s ? strlen(s) : 0 };
    return r;
}

static inline WPStr wp_strn(const char *p, size_t n)
{
    WPStr r = { p, n };
    return r;
}

static inline bool wp_str_eq(WPStr a, WPStr b)
{
    return a.n == b.n && memcmp(a.p, b.p, a.n) == 0;
}

/* Returns the part of `s` before the first `sep` and advances `s` past that
   separator. Without a separator, returns all of `s` and leaves `s` empty. */
WPStr wp_str_cut(WPStr *s, char sep);

/* Returns `s` without leading and trailing ASCII white space. */
WPStr wp_str_trim(WPStr s);

/* Returns the rest of `s` after `prefix`, or NULL if `s` does not begin with
   `prefix`. */
const char *wp_skip_prefix(const char *s, const char *prefix);

/* Parses an unsigned integer of 1 to 18 decimal digits into `out`. Returns
   false and leaves `out` unchanged if `s` is anything else. */
bool wp_str_uint(WPStr s, uint64_t *out);

/* Parses a decimal number without sign or exponent into `out`: 1 to 18 digits
   and at most one decimal point. Returns false and leaves `out` unchanged if
   `s` is anything else. */
bool wp_str_decimal(WPStr s, double *out);

/* Intrusive doubly linked list; a head points to itself when empty. */
typedef struct WPList {
    struct WPList *prev, *next;
} WPList;

#define wp_list_item(node, type, member)                                       \
    ((type *)((char *)(node)-offsetof(type, member)))
#define wp_list_each(it, head)                                                 \
    for (WPList *it = (head)->next; it != (head); it = it->next)
#define wp_list_each_safe(it, tmp, head)                                       \
    for (WPList *it = (head)->next, *tmp = it->next; it != (head);             \
         it = tmp, tmp = it->next)

static inline void wp_list_init(WPList *l)
{
    l->prev = l;
    l->next = l;
}

static inline bool wp_list_empty(const WPList *l)
{
    return l->next == l;
}

static inline void wp_list_append(WPList *head, WPList *node)
{
    node->prev = head->prev;
    node->next = head;
    head->prev->next = node;
    head->prev = node;
}

static inline void wp_list_remove(WPList *node)
{
    node->prev->next = node->next;
    node->next->prev = node->prev;
    wp_list_init(node);
}

/* The bytes that an array of this length takes: arrays grow by doubling. */
size_t wp_array_capacity(size_t length);

/* Empties the array. One that is larger than WP_ARRAY_KEEP_BYTES is replaced:
   its memory is freed with the last reference. */
enum { WP_ARRAY_KEEP_BYTES = 4 << 10 };
void wp_array_clear(GByteArray **a);

/* 64-bit hash of a string with a seed (xxHash); the same on every box. */
uint64_t wp_hash(WPStr s, uint64_t seed);

/* Returns the hash of (seed, s) as a number in the open interval (0, 1). */
double wp_hash_unit(WPStr s, uint64_t seed);

/* Returns the score of `candidate` for `key` in weighted rendezvous hashing:
   the candidate with the highest score owns the key. A candidate owns a share
   of all keys in proportion to its `weight`, which must be above 0. */
double wp_rendezvous(WPStr candidate, uint64_t key, double weight);

/* Returns the Unix milliseconds in a UUIDv7's time field, or 0 if `s` is not a
   UUIDv7. */
uint64_t wp_uuid7_ms(WPStr s);

/* Writes a UUIDv7 with the time stamp `wall_ms` (Unix milliseconds) and random
   bits from `rand` to `out`, which must hold 37 bytes. */
void wp_uuid7(char *out, uint64_t wall_ms, GRand *rand);

#endif

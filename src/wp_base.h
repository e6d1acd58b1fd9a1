/* Plain building blocks: length-counted strings, intrusive lists, sizes. */
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

/* The present, handed to every function that decides. Monotonic time orders
   and measures; wall time only stamps what other boxes will read. */
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

/* The part of `s` before the first `sep`; `s` becomes what follows it. */
WPStr wp_str_cut(WPStr *s, char sep);
WPStr wp_str_trim(WPStr s);

/* What follows `prefix` in `s`; NULL when it does not begin so. */
const char *wp_after(const char *s, const char *prefix);

/* Reads a whole number of digits alone, at most 18; false when it is none. */
bool wp_str_whole(WPStr s, uint64_t *out);

/* Reads a decimal number: digits with at most one point among them, and nothing
   else; false when it is none. */
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

/* 64-bit hash of a string with a seed (xxHash); the same on every box. */
uint64_t wp_hash(WPStr s, uint64_t seed);

/* A hash of (seed, key) as a number in the open interval (0, 1). */
double wp_hash_unit(WPStr s, uint64_t seed);

/* Rendezvous score: the candidate with the highest score wins its key.
   `weight` above 0 scales the share of keys won. */
double wp_rendezvous(WPStr candidate, uint64_t key, double weight);

/* Milliseconds in a UUIDv7's time field, or 0 when `s` is not a UUIDv7. */
uint64_t wp_uuid7_ms(WPStr s);

/* Writes a UUIDv7 made of the wall time and `rand` bits; `out` holds 37. */
void wp_uuid7(char *out, uint64_t wall_ms, GRand *rand);

#endif

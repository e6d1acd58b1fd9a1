/* Account of the bytes that a process holds for its clients. */
#include "wp_account.h"

/* The limit as a share of the machine's memory; the rest is for the program,
   its tables, what the allocator wastes and the kernel's buffers. */
#define MEMORY_SHARE 0.5

enum {
    DEFAULT_MEMORY_MB = 160, /* when the machine's memory is unknown */
    MB = 1 << 20,
    MIN_AGE_US = 1000 /* owners of the same moment differ by their bytes */
};

void wp_account_init(WPAccount *a)
{
    *a = (WPAccount){ 0 };
    for (unsigned waits = 0; waits < 2; waits++)
        for (unsigned i = 0; i < WP_ACCOUNT_SIZES; i++)
            wp_list_init(&a->owners[waits][i]);
}

void wp_account_set_memory(WPAccount *a, double memory_mb)
{
    double mb = memory_mb > 0 ? memory_mb : DEFAULT_MEMORY_MB;
    a->limit_bytes = (uint64_t)(MEMORY_SHARE * mb * MB);
}

static unsigned size_class(uint64_t bytes)
{
    unsigned bits = bytes ? 64 - (unsigned)__builtin_clzll(bytes) : 0;
    return MIN(bits, WP_ACCOUNT_SIZES - 1);
}

/* Puts the owner into the list of its size, as the newest there. */
static void list_owner(WPAccount *a, WPOwner *o, int64_t now_us)
{
    o->since_us = now_us;
    wp_list_append(&a->owners[o->waits][size_class(o->sum)], &o->node);
}

void wp_account_add(WPAccount *a, WPOwner *o, int64_t now_us)
{
    *o = (WPOwner){ 0 };
    list_owner(a, o, now_us);
}

void wp_account_remove(WPAccount *a, WPOwner *o)
{
    for (unsigned i = 0; i < WP_PURPOSE_COUNT; i++)
        a->bytes[i] -= o->bytes[i];
    a->sum -= o->sum;
    wp_list_remove(&o->node);
}

void wp_account_set(WPAccount *a, WPOwner *o, WPPurpose purpose, uint64_t bytes,
                    int64_t now_us)
{
    uint64_t was = o->bytes[purpose];
    unsigned size = size_class(o->sum);
    o->bytes[purpose] = bytes;
    o->sum += bytes - was;
    a->bytes[purpose] += bytes - was;
    a->sum += bytes - was;
    if (size_class(o->sum) == size)
        return;
    wp_list_remove(&o->node);
    list_owner(a, o, now_us);
}

void wp_account_set_waits(WPAccount *a, WPOwner *o, bool waits, int64_t now_us)
{
    if (o->waits == waits)
        return;
    wp_list_remove(&o->node);
    o->waits = waits;
    list_owner(a, o, now_us);
}

void wp_account_progress(WPAccount *a, WPOwner *o, int64_t now_us)
{
    wp_list_remove(&o->node);
    list_owner(a, o, now_us);
}

bool wp_account_is_over(const WPAccount *a)
{
    return a->limit_bytes && a->sum > a->limit_bytes;
}

bool wp_account_has_room(const WPAccount *a, uint64_t more)
{
    return !a->limit_bytes || a->sum + more <= a->limit_bytes;
}

/* Returns the owner of one kind that has held most for longest. */
static WPOwner *most_costly(const WPAccount *a, bool waits, int64_t now_us)
{
    WPOwner *found = NULL;
    double most = 0;
    for (unsigned i = 1; i < WP_ACCOUNT_SIZES; i++) {
        const WPList *list = &a->owners[waits][i];
        if (wp_list_empty(list))
            continue;
        WPOwner *o = wp_list_item(list->next, WPOwner, node);
        int64_t age_us = MAX(now_us - o->since_us, MIN_AGE_US);
        double cost = (double)o->sum * (double)age_us;
        if (cost <= most)
            continue;
        most = cost;
        found = o;
    }
    return found;
}

WPOwner *wp_account_victim(const WPAccount *a, bool any, int64_t now_us)
{
    WPOwner *o = most_costly(a, false, now_us);
    return o || !any ? o : most_costly(a, true, now_us);
}

const char *wp_purpose_name(WPPurpose purpose)
{
    static const char *const names[] = { "connection", "input",  "body",
                                         "parsed",     "answer", "output" };
    return names[purpose];
}

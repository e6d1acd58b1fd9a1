/* The queue of the lab's events: a heap by time, and by order at one time. */
#include "lab_int.h"

static bool earlier(const Event *a, const Event *b)
{
    return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

Event *lab_after(Lab *lab, int64_t us, void (*fn)(Lab *, Event *))
{
    Event *e = g_new0(Event, 1);
    GPtrArray *h = lab->heap;
    e->at_us = lab->now_us + us;
    e->order = lab->order++;
    e->fn = fn;
    g_ptr_array_add(h, e);
    for (guint i = h->len - 1; i;) {
        guint up = (i - 1) / 2;
        if (!earlier(h->pdata[i], h->pdata[up]))
            break;
        gpointer t = h->pdata[i];
        h->pdata[i] = h->pdata[up];
        h->pdata[up] = t;
        i = up;
    }
    return e;
}

Event *lab_next(Lab *lab)
{
    GPtrArray *h = lab->heap;
    Event *first = h->pdata[0];
    guint n = h->len - 1;
    h->pdata[0] = h->pdata[n];
    g_ptr_array_set_size(h, (gint)n);
    for (guint i = 0, k; (k = 2 * i + 1) < n; i = k) {
        if (k + 1 < n && earlier(h->pdata[k + 1], h->pdata[k]))
            k++;
        if (!earlier(h->pdata[k], h->pdata[i]))
            break;
        gpointer t = h->pdata[i];
        h->pdata[i] = h->pdata[k];
        h->pdata[k] = t;
    }
    return first;
}

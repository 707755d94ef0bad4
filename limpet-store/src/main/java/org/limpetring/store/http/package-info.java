/** Adapters to the HTTP and JSON interface of the platform. */
@NullMarked
package org.limpetring.store.http;

import org.jspecify.annotations.NullMarked;

/** Many small HTTP endpoints in one process over one thread pool. */
@NullMarked
package org.limpetring.standin.http;

import org.jspecify.annotations.NullMarked;

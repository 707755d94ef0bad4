/** HTTP endpoints of one process on a shared thread pool. */
@NullMarked
package org.limpetring.standin.http;

import org.jspecify.annotations.NullMarked;
